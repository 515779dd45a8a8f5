import pino from 'pino';

/** Logger of one part. Every line starts with the part's prefix. */
export interface Logger {
  info(sentence: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(sentence: string, fields?: Readonly<Record<string, unknown>>): void;
  error(sentence: string, fields?: Readonly<Record<string, unknown>>): void;
  /** Makes the logger of another part with the same destination. */
  part(prefix: string): Logger;
}

/** Makes the root logger of a process; writes JSON lines to standard error. */
export function createLogger(processName: string, level: string): Logger {
  return wrap(pino({ level, base: { process: processName } }, pino.destination(2)), 'main');
}

/** Longest time that lines wait in memory before they are written, milliseconds. */
const flushIntervalMs = 100;
/** Lines are dropped once this many bytes wait for a reader that is too slow. */
const maximumBufferedBytes = 1024 * 1024;

/** Makes the root logger of a process that never blocks on its log; writes JSON lines to standard output. */
export function createStandardOutputLogger(processName: string, level: string): Logger {
  const destination = pino.destination({
    dest: 1,
    sync: false,
    minLength: 4096,
    maxLength: maximumBufferedBytes,
    periodicFlush: flushIntervalMs,
  });
  return wrap(pino({ level, base: { process: processName } }, destination), 'main');
}

function wrap(logger: pino.Logger, prefix: string): Logger {
  return {
    info: (sentence, fields = {}) => {
      logger.info(fields, `${prefix}: ${sentence}`);
    },
    warn: (sentence, fields = {}) => {
      logger.warn(fields, `${prefix}: ${sentence}`);
    },
    error: (sentence, fields = {}) => {
      logger.error(fields, `${prefix}: ${sentence}`);
    },
    part: (other) => wrap(logger, other),
  };
}
