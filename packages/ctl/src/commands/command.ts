import type { ExitCode } from '@goldcrestscale/runtime';
import { CliError, exitCodes } from '@goldcrestscale/runtime';
import type { CtlSettings } from '../config.js';
import type { Printer } from '../output/index.js';
import type { TableClient } from '../table/index.js';

/** Command flags of goldcrestctl. */
export interface CtlFlags {
  readonly dryRun: boolean;
  readonly revokeOld: boolean;
}

/** Dependencies of a running command. */
export interface CommandContext {
  readonly settings: CtlSettings;
  readonly flags: CtlFlags;
  readonly printer: Printer;
  readonly signal: AbortSignal;
  /** Opens the table. @throws CliError `usage` if no log is configured */
  openTable(): TableClient;
}

/** One command of goldcrestctl. */
export abstract class Command {
  abstract readonly name: string;

  /** Syntax and summary on one line, for the help text. */
  abstract readonly usage: string;

  /**
   * Runs the command; undefined stands for exit code 0.
   *
   * @throws CliError, SettingsError, GoldcrestError
   */
  abstract run(context: CommandContext, args: readonly string[]): Promise<ExitCode | undefined>;

  /** Requires exactly `count` arguments. @throws CliError `usage` */
  protected requireArguments(args: readonly string[], count: number): readonly string[] {
    if (args.length !== count) {
      throw new CliError(`usage: goldcrestctl ${this.usage}`, exitCodes.usage);
    }
    return args;
  }
}
