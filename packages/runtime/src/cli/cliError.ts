import { isGoldcrestError } from '@goldcrestscale/core';
import { SettingsError } from '../settings/settingsError.js';
import { exitCodes } from './exitCodes.js';
import type { ExitCode } from './exitCodes.js';

const BAD_REQUEST_STATUS = 400;
const INTERNAL_ERROR_STATUS = 500;
const UNAVAILABLE_STATUS = 503;

/** Error of a command with the exit code of the process. */
export class CliError extends Error {
  override readonly name = 'CliError';

  constructor(
    message: string,
    readonly exitCode: ExitCode,
  ) {
    super(message);
  }
}

/** Maps an error to an exit code. */
export const findExitCode = (error: unknown): ExitCode => {
  if (error instanceof CliError) return error.exitCode;
  if (error instanceof SettingsError) return exitCodes.usage;
  if (!isGoldcrestError(error)) return exitCodes.failure;
  if (error.status === UNAVAILABLE_STATUS) return exitCodes.unavailable;
  const isRefusal = error.status >= BAD_REQUEST_STATUS && error.status < INTERNAL_ERROR_STATUS;
  return isRefusal ? exitCodes.refused : exitCodes.failure;
};
