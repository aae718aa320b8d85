import { CONFIG_STREAM } from '@goldcrestscale/core';
import { createHttpLogStream } from '@goldcrestscale/platform';
import { CliError, exitCodes, findNearestKey } from '@goldcrestscale/runtime';
import type { CliOptions, ExitCode } from '@goldcrestscale/runtime';
import { createCommands } from './commands/index.js';
import type { Command } from './commands/index.js';
import { ctlSettingsSchema } from './config.js';
import type { CtlSettings } from './config.js';
import { createPrinter } from './output/index.js';
import { createLogTableClient } from './table/index.js';
import type { TableClient } from './table/index.js';

const ctlFlags = {
  json: { type: 'boolean', default: false },
  dryRun: { type: 'boolean', default: false },
  revokeOld: { type: 'boolean', default: false },
} as const;

/** Opens the configuration table that the settings refer to. */
export type OpenTable = (settings: CtlSettings) => TableClient;

/** Opens the table through the platform's log. @throws CliError `usage` if no log is configured */
export const openLogTable: OpenTable = ({ platform, editTimeoutMs }) => {
  if (!platform) throw new CliError('the settings have no "platform.logUrl"', exitCodes.usage);
  const stream = createHttpLogStream(platform.logUrl, CONFIG_STREAM);
  return createLogTableClient(stream, editTimeoutMs);
};

const findCommand = (commands: readonly Command[], name: string | undefined): Command => {
  const found = commands.find((command) => command.name === name);
  if (found) return found;
  const names = commands.map((command) => command.name);
  const nearest = name === undefined ? undefined : findNearestKey(name, names);
  const problem = name === undefined ? 'no command' : `unknown command "${name}"`;
  const hint = nearest ? `did you mean "${nearest}"?` : `commands: ${names.join(', ')}`;
  throw new CliError(`${problem}; ${hint}`, exitCodes.usage);
};

const buildUsage = (commands: readonly Command[]): string =>
  [
    '  $ goldcrestctl COMMAND --settings FILE',
    '',
    'Commands',
    ...commands.map((command) => `  ${command.usage}`),
    '',
    'Command flags',
    '  --json           Print JSON',
    '  --dry-run        With apply: show the changes without making them',
    '  --revoke-old     With account rotate-key: revoke the older keys at once',
  ].join('\n');

/** Creates the goldcrestctl program definition for `runCli`. */
export const createCtlProgram = (
  openTable: OpenTable = openLogTable,
): CliOptions<typeof ctlSettingsSchema, typeof ctlFlags> => {
  const commands = createCommands();
  return {
    name: 'goldcrestctl',
    version: '0.1.0',
    description: 'edits the configuration table and shows the state of entry VMs',
    usage: buildUsage(commands),
    flags: ctlFlags,
    schema: ctlSettingsSchema,
    run: async (signal, settings, _logger, { flags, input, stdout }): Promise<ExitCode> => {
      const [name, ...args] = input;
      let table: TableClient | undefined;
      const code = await findCommand(commands, name).run(
        {
          settings,
          flags,
          printer: createPrinter(stdout, flags.json),
          signal,
          openTable: () => {
            table ??= openTable(settings);
            return table;
          },
        },
        args,
      );
      return code ?? exitCodes.ok;
    },
  };
};
