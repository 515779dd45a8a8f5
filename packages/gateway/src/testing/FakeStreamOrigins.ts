import type { OriginAnswer, OriginQuery, StreamOrigin, StreamOrigins } from '../streams/Types.js';

/** Origins of streams that a test knows; one that is missing has no answer. */
export class FakeStreamOrigins implements StreamOrigins {
  public readonly answers = new Map<string, OriginAnswer>();
  public readonly recorded: StreamOrigin[] = [];
  /** Time until the origin of a new stream is stored, milliseconds. */
  public storeMs = 0;
  public readonly heldVersions = new Set<string>();
  /** True if no origin can be stored. */
  public failsToStore = false;

  public record(origin: StreamOrigin): void {
    this.recorded.push(origin);
  }

  public begin(origin: StreamOrigin, onStored: () => void, onFailed: () => void): void {
    this.recorded.push(origin);
    const onEnd = this.failsToStore ? onFailed : onStored;
    if (this.storeMs === 0) {
      onEnd();
    } else {
      setTimeout(onEnd, this.storeMs);
    }
  }

  public mayBegin(_service: string, version: string): boolean {
    return !this.heldVersions.has(version);
  }

  public findOrigin({ attemptId }: OriginQuery, listener: (answer: OriginAnswer) => void): () => void {
    const answer = this.answers.get(attemptId ?? '');
    if (answer !== undefined) {
      listener(answer);
    }
    return () => undefined;
  }
}
