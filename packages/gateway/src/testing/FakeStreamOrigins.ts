import type { OriginAnswer, OriginQuery, StreamOrigin, StreamOrigins } from '../streams/Types.js';

/** Origins of streams that a test knows; one that is missing has no answer. */
export class FakeStreamOrigins implements StreamOrigins {
  public readonly answers = new Map<string, OriginAnswer>();
  public readonly recorded: StreamOrigin[] = [];
  public readonly heldVersions = new Set<string>();

  public record(origin: StreamOrigin): void {
    this.recorded.push(origin);
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
