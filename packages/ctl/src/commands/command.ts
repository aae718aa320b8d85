import type { ExitCode } from '@goldcrestscale/runtime';
import { CliError, exitCodes } from '@goldcrestscale/runtime';
import type { CtlSettings } from '../config.js';
import type { Printer } from '../output/index.js';
import type { TableClient } from '../table/index.js';

/** Flags of goldcrestctl's own. */
export interface CtlFlags {
  readonly dryRun: boolean;
  readonly revokeOld: boolean;
}

/** What a command works with. */
export interface CommandContext {
  readonly settings: CtlSettings;
  readonly flags: CtlFlags;
  readonly printer: Printer;
  readonly signal: AbortSignal;
  /** Opens the table. @throws CliError `usage` where the settings don't name the log */
  openTable(): TableClient;
}

/** One command of goldcrestctl. */
export abstract class Command {
  abstract readonly name: string;

  /** Arguments and meaning, one line, for the help. */
  abstract readonly usage: string;

  /** Does the work; no code means 0. @throws CliError, SettingsError, GoldcrestError */
  abstract run(context: CommandContext, args: readonly string[]): Promise<ExitCode | undefined>;

  /** Takes exactly this many arguments. @throws CliError `usage` */
  protected requireArguments(args: readonly string[], count: number): readonly string[] {
    if (args.length !== count) {
      throw new CliError(`usage: goldcrestctl ${this.usage}`, exitCodes.usage);
    }
    return args;
  }
}
