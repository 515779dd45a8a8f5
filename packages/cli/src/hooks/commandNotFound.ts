import * as common from '@jayhaven/common';
import type * as oclif from '@oclif/core';
import { CommandError } from '../CommandError.js';

/** Exits with the code for wrong usage and suggests the nearest command. */
const commandNotFound: oclif.Hook.CommandNotFound = function ({ config, id }) {
  const nearest = common.settings.nearestName(id, config.commandIDs);
  const suggestion = nearest === undefined ? '' : ` Did you mean "${nearest}"?`;
  throw new CommandError('usage', `"${id}" is not a jayhaven command.${suggestion} See "jayhaven --help".`);
};

export default commandNotFound;
