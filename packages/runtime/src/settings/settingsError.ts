/** One problem of a settings file. */
export interface SettingsProblem {
  /** Path of the field, for example "listen.port"; empty for the whole file. */
  readonly path: string;
  /** Description of the actual value, with secrets masked. */
  readonly found: string;
  /** Description of the allowed values. */
  readonly allowed: string;
  /** Most similar known key, if the key is unknown. */
  readonly nearestKey?: string;
}

const describeProblem = ({ path, found, allowed, nearestKey }: SettingsProblem): string => {
  const hint = nearestKey === undefined ? '' : `; did you mean "${nearestKey}"?`;
  return `  ${path || '(whole file)'}: found ${found}; ${allowed}${hint}`;
};

/** Thrown for invalid settings; lists all problems of the file. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';

  constructor(
    readonly source: string,
    readonly problems: readonly SettingsProblem[],
  ) {
    const count = `${problems.length} problem${problems.length === 1 ? '' : 's'}`;
    super([`${source}: ${count}`, ...problems.map(describeProblem)].join('\n'));
  }
}
