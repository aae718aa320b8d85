import { AccountCommand } from './accountCommand.js';
import type { Command } from './command.js';
import { DeleteCommand } from './deleteCommand.js';
import { ApplyCommand } from './applyCommand.js';
import { DiffCommand } from './diffCommand.js';
import { EntriesCommand } from './entriesCommand.js';
import { StateCommand } from './stateCommand.js';
import { GetCommand } from './getCommand.js';
import { SetCommand } from './setCommand.js';
import { UpstreamCommand } from './upstreamCommand.js';
import { ZoneCommand } from './zoneCommand.js';
import { WatchCommand } from './watchCommand.js';

/** Commands of goldcrestctl. */
export * from './command.js';
export { generateApiKey } from './accountCommand.js';

/** Creates every command, in the order of the help text. */
export const createCommands = (): readonly Command[] => [
  new GetCommand(),
  new SetCommand(),
  new ApplyCommand(),
  new DiffCommand(),
  new DeleteCommand(),
  new ZoneCommand(),
  new UpstreamCommand(),
  new AccountCommand(),
  new WatchCommand(),
  new StateCommand(),
  new EntriesCommand(),
];
