import meow from 'meow';
import type { AnyFlags, Result } from 'meow';
import type { z } from 'zod';
import { createLogger } from '../logger/logger.js';
import type { Logger } from '../logger/logger.js';
import { logSettingsSchema } from '../logger/logSettings.js';
import { redactText } from '../logger/redact.js';
import { loadSettings, parseSettings } from '../settings/loadSettings.js';
import { SETTINGS_WAIT_MS } from '../settings/readSettingsFile.js';
import { maskSecrets } from '../settings/maskSecrets.js';
import { findExitCode } from './cliError.js';
import { createProcessHost } from './cliHost.js';
import type { CliHost } from './cliHost.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';

/** Flags of all binaries. */
const commonFlags = {
  settings: { type: 'string' },
  check: { type: 'boolean' },
  printConfig: { type: 'boolean' },
  help: { type: 'boolean', shortFlag: 'h' },
  version: { type: 'boolean' },
} as const satisfies AnyFlags;

const COMMON_HELP = `  --settings FILE  Read settings from a JSON file
  --check          Check the settings and exit with 0 or 2
  --print-config   Print the settings in force, secrets masked
  --help           Print this help
  --version        Print the version`;

/** Parsed command line and output stream of a command. */
export interface CliInvocation<Flags extends AnyFlags> {
  readonly flags: Result<Flags>['flags'];
  /** Arguments that are not flags. */
  readonly input: readonly string[];
  readonly stdout: CliHost['stdout'];
}

/** Definition of a binary's command line. */
export interface CliOptions<Schema extends z.ZodType, Flags extends AnyFlags> {
  readonly name: string;
  readonly version: string;
  readonly description: string;
  /** Help lines for the arguments and flags of this binary. */
  readonly usage?: string;
  readonly flags?: Flags;
  readonly schema: Schema;
  /** Whether a start reads a settings file again that is missing or cut off. @default false */
  readonly waitsForSettings?: boolean;
  /** Runs the command; the signal aborts on SIGTERM and SIGINT. The default exit code is 0. */
  readonly run: (
    signal: AbortSignal,
    settings: z.output<Schema>,
    logger: Logger,
    invocation: CliInvocation<Flags>,
  ) => Promise<ExitCode | undefined | void>;
}

const buildHelp = (options: CliOptions<z.ZodType, AnyFlags>): string =>
  [
    `${options.name}: ${options.description}`,
    '',
    'Usage',
    options.usage ?? `  $ ${options.name} --settings FILE`,
    '',
    'Options',
    COMMON_HELP,
    '',
    'Exit codes: 0 ok, 1 failure, 2 usage or settings, 3 refused, 4 unavailable',
    '',
  ].join('\n');

const parseArguments = <Flags extends AnyFlags>(
  options: CliOptions<z.ZodType, Flags>,
  host: CliHost,
) =>
  meow(buildHelp(options as unknown as CliOptions<z.ZodType, AnyFlags>), {
    importMeta: import.meta,
    argv: [...host.argv],
    pkg: { name: options.name, version: options.version },
    flags: { ...(options.flags ?? ({} as Flags)), ...commonFlags },
    allowUnknownFlags: false,
    autoHelp: false,
    autoVersion: false,
    description: false,
  });

const createCliLogger = (name: string, settings: unknown, host: CliHost): Logger => {
  const log = logSettingsSchema.safeParse((settings as { log?: unknown } | undefined)?.log ?? {});
  return createLogger({
    part: name.replace(/^goldcrest-?/, ''),
    ...(log.success ? log.data : logSettingsSchema.parse({})),
    stream: host.stderr,
  });
};

const runWithStopSignal = async <Value>(
  host: CliHost,
  logger: Logger,
  run: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> => {
  const stopController = new AbortController();
  const runFinished = new AbortController();
  host.onStopSignal((name) => {
    if (stopController.signal.aborted) {
      logger.warn('second stop signal; exiting immediately', { signal: name });
      host.exit(exitCodes.failure);
      return;
    }
    logger.info('stopping', { signal: name });
    stopController.abort();
  }, runFinished.signal);
  try {
    return await run(stopController.signal);
  } finally {
    runFinished.abort();
  }
};

const printText = (host: CliHost, text: string): ExitCode => {
  host.stdout.write(`${text}\n`);
  return exitCodes.ok;
};

/** Runs a binary's command and returns its exit code. */
export const runCommand = async <Schema extends z.ZodType, Flags extends AnyFlags>(
  options: CliOptions<Schema, Flags>,
  host: CliHost,
): Promise<ExitCode> => {
  const { flags, input, help } = parseArguments(options as CliOptions<z.ZodType, Flags>, host);
  const commonFlagValues = flags as Result<typeof commonFlags>['flags'];

  try {
    if (commonFlagValues.help) return printText(host, help.trim());
    if (commonFlagValues.version) return printText(host, `${options.name} ${options.version}`);
    const isStart = !commonFlagValues.printConfig && !commonFlagValues.check;
    const settings = commonFlagValues.settings
      ? await loadSettings(options.schema, commonFlagValues.settings, {
          waitMs: isStart && options.waitsForSettings ? SETTINGS_WAIT_MS : 0,
        })
      : parseSettings(options.schema, {}, 'settings (no --settings FILE)');
    if (commonFlagValues.printConfig)
      printText(host, JSON.stringify(maskSecrets(settings), undefined, 2));
    if (commonFlagValues.check) printText(host, `${commonFlagValues.settings ?? 'settings'}: ok`);
    if (!isStart) return exitCodes.ok;
    const logger = createCliLogger(options.name, settings, host);
    const invocation = { flags: flags as Result<Flags>['flags'], input, stdout: host.stdout };
    const code = await runWithStopSignal(host, logger, (signal) =>
      options.run(signal, settings, logger, invocation),
    );
    return code ?? exitCodes.ok;
  } catch (error) {
    host.stderr.write(`${options.name}: ${redactText((error as Error).message)}\n`);
    return findExitCode(error);
  }
};

/** Runs a binary and exits the process with its exit code. */
export const runCli = async <Schema extends z.ZodType, Flags extends AnyFlags>(
  options: CliOptions<Schema, Flags>,
): Promise<void> => {
  const host = createProcessHost();
  host.exit(await runCommand(options, host));
};
