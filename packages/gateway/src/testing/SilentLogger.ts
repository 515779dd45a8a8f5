import type * as common from '@jayhaven/common';

/** A logger that writes nothing. */
export const silentLogger: common.Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  child: () => silentLogger,
};
