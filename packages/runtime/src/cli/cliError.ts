import { isGoldcrestError } from '@goldcrestscale/core';
import { SettingsError } from '../settings/settingsError.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';

const HTTP_BAD_REQUEST = 400;
const HTTP_SERVER_ERROR = 500;
const HTTP_UNAVAILABLE = 503;

/** Failure of a command, with the exit code that it ends with. */
export class CliError extends Error {
  override readonly name = 'CliError';

  constructor(
    message: string,
    readonly exitCode: ExitCode,
  ) {
    super(message);
  }
}

/** Finds the exit code for an error. */
export const findExitCode = (error: unknown): ExitCode => {
  if (error instanceof CliError) return error.exitCode;
  if (error instanceof SettingsError) return exitCodes.usage;
  if (!isGoldcrestError(error)) return exitCodes.failure;
  if (error.status === HTTP_UNAVAILABLE) return exitCodes.unavailable;
  const isRefusal = error.status >= HTTP_BAD_REQUEST && error.status < HTTP_SERVER_ERROR;
  return isRefusal ? exitCodes.refused : exitCodes.failure;
};
