import pino from 'pino';

/** Logger of one part. Every line starts with the part's prefix. */
export interface Logger {
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
  error(message: string, fields?: Readonly<Record<string, unknown>>): void;
  /** Makes the logger of another part with the same destination. */
  child(prefix: string): Logger;
}

/** Makes the root logger of a process; writes JSON lines to standard error. */
export function createLogger(processName: string, level: string): Logger {
  return withPrefix(pino({ level, base: { process: processName } }, pino.destination(2)), 'main');
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
  return withPrefix(pino({ level, base: { process: processName } }, destination), 'main');
}

function withPrefix(logger: pino.Logger, prefix: string): Logger {
  return {
    info: (message, fields = {}) => {
      logger.info(fields, `${prefix}: ${message}`);
    },
    warn: (message, fields = {}) => {
      logger.warn(fields, `${prefix}: ${message}`);
    },
    error: (message, fields = {}) => {
      logger.error(fields, `${prefix}: ${message}`);
    },
    child: (childPrefix) => withPrefix(logger, childPrefix),
  };
}
