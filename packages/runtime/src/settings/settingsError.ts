/** One thing that is wrong with a settings file. */
export interface SettingsProblem {
  /** Where, for example "listen.port"; empty for the whole file. */
  readonly path: string;
  /** The value found, with secrets masked. */
  readonly found: string;
  /** What is allowed there. */
  readonly allowed: string;
  /** Known key that was probably meant, where the key is unknown. */
  readonly nearestKey?: string;
}

const describeProblem = ({ path, found, allowed, nearestKey }: SettingsProblem): string => {
  const hint = nearestKey === undefined ? '' : `; did you mean "${nearestKey}"?`;
  return `  ${path || '(whole file)'}: found ${found}; ${allowed}${hint}`;
};

/** Settings that can't be used, with every problem of the file. */
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
