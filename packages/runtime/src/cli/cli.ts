import meow from 'meow';
import type { AnyFlags, Result } from 'meow';
import type { z } from 'zod';
import { createLogger } from '../logger/logger.js';
import type { Logger } from '../logger/logger.js';
import { logSettingsSchema } from '../logger/logSettings.js';
import { redactText } from '../logger/redact.js';
import { DAEMON_SIGNALS, ProcessSignals, STOP_SIGNALS } from '../process/processSignals.js';
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
  /**
   * Whether the command serves requests of others. A daemon reads a settings file again that is
   * missing or cut off, survives SIGHUP, and does nothing at a second stop signal, which ends a tool
   * at once.
   *
   * @default false
   */
  readonly isDaemon?: boolean;
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

/** Has the settings file checked, and logs the outcome. */
const checkSettings = async (
  { schema }: CliOptions<z.ZodType, AnyFlags>,
  file: string | undefined,
  logger: Logger,
): Promise<void> => {
  if (file === undefined) return;
  try {
    await loadSettings(schema, file, { waitMs: SETTINGS_WAIT_MS });
    logger.info('settings file is valid; changes take effect on restart');
  } catch (error) {
    logger.error('settings file is invalid; keeping the current settings', {
      error: redactText((error as Error).message),
    });
  }
};

/** Handles the signals of the process from now on; returns the signal to stop. */
const handleSignals = (
  options: CliOptions<z.ZodType, AnyFlags>,
  host: CliHost,
  file: string | undefined,
  log: { readonly logger: Logger },
): AbortSignal => {
  const isDaemon = options.isDaemon ?? false;
  const signals = new ProcessSignals({
    get logger() {
      return log.logger;
    },
    onCheck() {
      void checkSettings(options, file, log.logger);
    },
    onRepeatedStop() {
      if (!isDaemon) host.exit(exitCodes.failure);
    },
  });
  host.onSignals(isDaemon ? DAEMON_SIGNALS : STOP_SIGNALS, (name) => signals.handle(name));
  return signals.stopSignal;
};

/** Loads the settings; undefined if a daemon was stopped meanwhile. */
const loadFirstSettings = async <Schema extends z.ZodType>(
  { schema, isDaemon = false }: Pick<CliOptions<Schema, AnyFlags>, 'schema' | 'isDaemon'>,
  file: string,
  isStart: boolean,
  signal: AbortSignal,
): Promise<z.output<Schema> | undefined> => {
  try {
    return await loadSettings(schema, file, {
      waitMs: isStart && isDaemon ? SETTINGS_WAIT_MS : 0,
      signal,
    });
  } catch (error) {
    if (isDaemon && signal.aborted) return undefined;
    throw error;
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
    // Replaced by the one that the settings describe.
    const log = { logger: createCliLogger(options.name, undefined, host) };
    const isStart = !commonFlagValues.printConfig && !commonFlagValues.check;
    const file = commonFlagValues.settings;
    const signal = handleSignals(
      options as unknown as CliOptions<z.ZodType, AnyFlags>,
      host,
      file,
      log,
    );
    const settings = file
      ? await loadFirstSettings(options, file, isStart, signal)
      : parseSettings(options.schema, {}, 'settings (no --settings FILE)');
    if (settings === undefined) return exitCodes.ok;
    if (commonFlagValues.printConfig)
      printText(host, JSON.stringify(maskSecrets(settings), undefined, 2));
    if (commonFlagValues.check) printText(host, `${commonFlagValues.settings ?? 'settings'}: ok`);
    if (!isStart) return exitCodes.ok;
    log.logger = createCliLogger(options.name, settings, host);
    const invocation = { flags: flags as Result<Flags>['flags'], input, stdout: host.stdout };
    const code = await options.run(signal, settings, log.logger, invocation);
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
