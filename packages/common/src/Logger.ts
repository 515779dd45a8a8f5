import pino from 'pino';

/** Logger of one component. Every message starts with the prefix of the component. */
export interface Logger {
  info(message: string, fields?: Readonly<Record<string, unknown>>): void;
  warn(message: string, fields?: Readonly<Record<string, unknown>>): void;
  error(message: string, fields?: Readonly<Record<string, unknown>>): void;
  /** Creates the logger of another component with the same destination. */
  child(prefix: string): Logger;
}

/** Creates the root logger of a process; writes JSON lines to standard error. */
export function createLogger(processName: string, level: string): Logger {
  return withPrefix(pino({ level, base: { process: processName } }, pino.destination(2)), 'main');
}

/** Maximum time that lines are buffered in memory before they are written, milliseconds. */
const flushIntervalMs = 100;
/** Maximum number of bytes buffered for a slow reader; lines beyond it are dropped. */
const maximumBufferedBytes = 1024 * 1024;

/** Creates the root logger of a process that never blocks on its log; writes JSON lines to standard output. */
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
