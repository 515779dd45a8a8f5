declare module 'js-csp' {
  export interface Channel<Value> {
    close(): void;
    isClosed?(): boolean;
    readonly __value?: Value;
  }
  export interface Buffer<Value> {
    readonly __value?: Value;
  }
  interface Csp {
    readonly CLOSED: null;
    chan<Value>(bufferOrSize?: number | Buffer<Value>): Channel<Value>;
    go<Arguments extends readonly unknown[]>(
      generator: (...values: Arguments) => Generator<unknown, unknown, never>,
      values?: Arguments,
    ): Channel<unknown>;
    take<Value>(channel: Channel<Value>): unknown;
    offer<Value>(channel: Channel<Value>, value: Value): boolean;
    putAsync<Value>(channel: Channel<Value>, value: Value, done?: (accepted: boolean) => void): void;
    takeAsync<Value>(channel: Channel<Value>, done: (value: Value | null) => void): void;
    readonly buffers: {
      fixed<Value>(size: number): Buffer<Value>;
      dropping<Value>(size: number): Buffer<Value>;
      sliding<Value>(size: number): Buffer<Value>;
    };
  }
  const csp: Csp;
  export default csp;
}
