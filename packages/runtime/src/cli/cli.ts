import meow from 'meow';
import type { AnyFlags, Result } from 'meow';
import type { z } from 'zod';
import { createLogger } from '../logger/logger.js';
import type { Logger } from '../logger/logger.js';
import { logSettingsSchema } from '../logger/logSettings.js';
import { redactText } from '../logger/redact.js';
import { loadSettings, parseSettings } from '../settings/loadSettings.js';
import { maskSecrets } from '../settings/maskSecrets.js';
import { findExitCode } from './cliError.js';
import { createProcessHost } from './cliHost.js';
import type { CliHost } from './cliHost.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';

/** Flags that every binary has. */
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

/** What the command line gave besides the settings. */
export interface CliInvocation<Flags extends AnyFlags> {
  readonly flags: Result<Flags>['flags'];
  /** Arguments that are not flags. */
  readonly input: readonly string[];
  readonly stdout: CliHost['stdout'];
}

/** Describes a binary. */
export interface CliOptions<Schema extends z.ZodType, Flags extends AnyFlags> {
  readonly name: string;
  readonly version: string;
  readonly description: string;
  /** Lines on arguments and own flags, for the help. */
  readonly usage?: string;
  readonly flags?: Flags;
  readonly schema: Schema;
  /** Does the work; the signal aborts on SIGTERM and SIGINT. No code means 0. */
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

const runUntilStopped = async <Value>(
  host: CliHost,
  logger: Logger,
  run: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> => {
  const stop = new AbortController();
  const finished = new AbortController();
  host.onStopSignal((name) => {
    if (stop.signal.aborted) {
      logger.warn('second signal; exiting at once', { signal: name });
      host.exit(exitCodes.failure);
      return;
    }
    logger.info('stopping', { signal: name });
    stop.abort();
  }, finished.signal);
  try {
    return await run(stop.signal);
  } finally {
    finished.abort();
  }
};

const printText = (host: CliHost, text: string): ExitCode => {
  host.stdout.write(`${text}\n`);
  return exitCodes.ok;
};

/** Runs a binary's command and gives its exit code. */
export const runCommand = async <Schema extends z.ZodType, Flags extends AnyFlags>(
  options: CliOptions<Schema, Flags>,
  host: CliHost,
): Promise<ExitCode> => {
  const { flags, input, help } = parseArguments(options as CliOptions<z.ZodType, Flags>, host);
  const common = flags as Result<typeof commonFlags>['flags'];

  try {
    if (common.help) return printText(host, help.trim());
    if (common.version) return printText(host, `${options.name} ${options.version}`);
    const settings = common.settings
      ? await loadSettings(options.schema, common.settings)
      : parseSettings(options.schema, {}, 'settings (no --settings FILE)');
    if (common.printConfig) printText(host, JSON.stringify(maskSecrets(settings), undefined, 2));
    if (common.check) printText(host, `${common.settings ?? 'settings'}: ok`);
    if (common.printConfig || common.check) return exitCodes.ok;
    const logger = createCliLogger(options.name, settings, host);
    const invocation = { flags: flags as Result<Flags>['flags'], input, stdout: host.stdout };
    const code = await runUntilStopped(host, logger, (signal) =>
      options.run(signal, settings, logger, invocation),
    );
    return code ?? exitCodes.ok;
  } catch (error) {
    host.stderr.write(`${options.name}: ${redactText((error as Error).message)}\n`);
    return findExitCode(error);
  }
};

/** Runs a binary to its end and exits with its code. */
export const runCli = async <Schema extends z.ZodType, Flags extends AnyFlags>(
  options: CliOptions<Schema, Flags>,
): Promise<void> => {
  const host = createProcessHost();
  host.exit(await runCommand(options, host));
};
