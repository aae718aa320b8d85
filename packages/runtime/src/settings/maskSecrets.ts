/** Placeholder for a secret. */
export const MASK = '********';

const SECRET_NAME_PATTERN = /(secret|password|passphrase|api_?keys?|keys?|token|authorization)$/i;
const REFERENCE_KEYS: ReadonlySet<string> = new Set(['file', 'env']);

/** Returns whether a field with this name contains a secret. */
export const isSecretName = (name: string): boolean => SECRET_NAME_PATTERN.test(name);

/** Returns whether the value at a path is a secret, unlike the file or variable of a reference. */
export const isSecretPath = (path: readonly PropertyKey[]): boolean => {
  const last = path.at(-1);
  if (path.length > 1 && REFERENCE_KEYS.has(String(last))) return false;
  return path.some((part) => typeof part === 'string' && isSecretName(part));
};

/** Copies a value with all secrets replaced by the mask. */
export const maskSecrets = (value: unknown, path: readonly PropertyKey[] = []): unknown => {
  if (Array.isArray(value)) {
    return value.map((item: unknown, index) => maskSecrets(item, [...path, index]));
  }
  if (typeof value === 'object' && value !== null) {
    return Object.fromEntries(
      Object.entries(value).map(([name, item]) => [name, maskSecrets(item, [...path, name])]),
    );
  }
  const isNeverSecret = value === undefined || value === null || typeof value === 'boolean';
  return !isNeverSecret && isSecretPath(path) ? MASK : value;
};
