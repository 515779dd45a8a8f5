/** Lets one loop sleep for a time, or until the signal is raised. */
export class Signal {
  private _wake: (() => void) | undefined;
  private _raised = false;

  /** Ends the current or the next sleep. */
  public raise(): void {
    this._raised = true;
    this._wake?.();
  }

  /** Sleeps for a time, or until the signal is raised. */
  public async sleep(durationMs: number): Promise<void> {
    if (!this._raised) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, durationMs);
        this._wake = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
    this._wake = undefined;
    this._raised = false;
  }
}
