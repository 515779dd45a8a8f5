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
