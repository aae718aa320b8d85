/** Text that stands in for a secret. */
export const MASK = '********';

const SECRET_NAME = /(secret|password|passphrase|api_?keys?|keys?|token|authorization)$/i;
const REFERENCE_NAMES: ReadonlySet<string> = new Set(['file', 'env']);

/** Tells whether a field of this name holds a secret. */
export const isSecretName = (name: string): boolean => SECRET_NAME.test(name);

/** Tells whether the value at a path is a secret; references to a file or variable are not. */
export const isSecretPath = (path: readonly PropertyKey[]): boolean => {
  const last = path.at(-1);
  if (path.length > 1 && REFERENCE_NAMES.has(String(last))) return false;
  return path.some((part) => typeof part === 'string' && isSecretName(part));
};

/** Copies a value with every secret in it replaced by a mask. */
export const maskSecrets = (value: unknown, path: readonly PropertyKey[] = []): unknown => {
  if (Array.isArray(value)) {
    return value.map((item: unknown, index) => maskSecrets(item, [...path, index]));
  }
  if (typeof value === 'object' && value !== null) {
    return Object.fromEntries(
      Object.entries(value).map(([name, item]) => [name, maskSecrets(item, [...path, name])]),
    );
  }
  const isEmpty = value === undefined || value === null || typeof value === 'boolean';
  return !isEmpty && isSecretPath(path) ? MASK : value;
};
