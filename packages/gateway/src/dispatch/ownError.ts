import { FaultError } from './faultError.js';
import { PathError } from './pathError.js';

/** Whether an error that ended an exchange tells nothing of the upstream. */
export const isOwnError = (error: Error): boolean =>
  error instanceof FaultError || error instanceof PathError;
