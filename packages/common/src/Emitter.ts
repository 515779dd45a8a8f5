/** Removes a listener. */
export type Unsubscribe = () => void;

/** Typed event source. Classes expose `event` as a property named `onX`. */
export class Emitter<Event> {
  private readonly _listeners = new Set<(event: Event) => void>();

  /** Registers a listener. */
  public readonly event = (listener: (event: Event) => void): Unsubscribe => {
    this._listeners.add(listener);
    return () => {
      this._listeners.delete(listener);
    };
  };

  /** Calls every listener. */
  public fire(event: Event): void {
    for (const listener of [...this._listeners]) {
      listener(event);
    }
  }
}
