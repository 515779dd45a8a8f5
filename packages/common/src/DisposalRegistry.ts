/** A resource that must be closed, or a function that closes one. */
export type Disposable = AsyncDisposable | (() => void | Promise<void>);

/** Closes registered resources in reverse order. Node.js 20 has no `AsyncDisposableStack`. */
export class DisposalRegistry implements AsyncDisposable {
  private readonly _entries: Disposable[] = [];
  private _disposed = false;

  /** Registers a resource and returns it. */
  public register<Resource extends Disposable>(resource: Resource): Resource {
    if (this._disposed) {
      throw new Error('invariant broken: resource registered after disposal');
    }
    this._entries.push(resource);
    return resource;
  }

  /** Closes every resource, even if closing one of them fails, and then throws the collected errors. */
  public async [Symbol.asyncDispose](): Promise<void> {
    if (this._disposed) {
      return;
    }
    this._disposed = true;
    const errors: unknown[] = [];
    for (const entry of this._entries.reverse()) {
      try {
        await (typeof entry === 'function' ? entry() : entry[Symbol.asyncDispose]());
      } catch (error) {
        errors.push(error);
      }
    }
    this._entries.length = 0;
    if (errors.length > 0) {
      throw new AggregateError(errors, 'disposal failed');
    }
  }
}
