import { readFile } from 'node:fs/promises';
import { z } from 'zod';
import { registerSecret } from '../logger/redact.js';
import { SettingsError } from './settingsError.js';

/** Reference to a secret in a file or an environment variable; settings never contain the value. */
export const secretReferenceSchema = z
  .union([
    z.strictObject({ file: z.string().min(1).describe('File that holds the secret.') }),
    z.strictObject({ env: z.string().min(1).describe('Environment variable with the secret.') }),
  ])
  .describe('A secret, as {"file": PATH} or {"env": NAME}.');

/** Reference to a secret in a file or an environment variable. */
export type SecretReference = z.output<typeof secretReferenceSchema>;

const failLoading = (path: string, found: string): never => {
  throw new SettingsError('secret', [
    { path, found, allowed: 'allowed: a text that is not empty' },
  ]);
};

const readSecret = async (reference: SecretReference): Promise<string> => {
  if ('env' in reference) return process.env[reference.env] ?? '';
  try {
    return await readFile(reference.file, 'utf8');
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return failLoading(reference.file, `no readable file (${code ?? 'unknown'})`);
  }
};

/** Loads a secret and registers it for redaction in logs. @throws SettingsError if it is missing */
export const loadSecret = async (reference: SecretReference): Promise<string> => {
  const secret = (await readSecret(reference)).trim();
  const path = 'env' in reference ? `variable ${reference.env}` : reference.file;
  if (secret === '') return failLoading(path, 'nothing');
  registerSecret(secret);
  return secret;
};
