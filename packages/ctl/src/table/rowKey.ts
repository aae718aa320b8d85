import type { Row, RowKey, RowKind } from '@goldcrestscale/core';
import { CliError, exitCodes, findNearestKey } from '@goldcrestscale/runtime';

/** Row kinds in dependency order: a row refers only to rows of earlier kinds. */
export const ROW_KINDS = [
  'zone',
  'model',
  'service',
  'account',
  'upstream',
  'workload',
] as const satisfies readonly RowKind[];

const ID_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** Row kind and id from the command line. */
export interface ParsedRowKey {
  readonly kind: RowKind;
  readonly id: string;
  readonly key: RowKey;
}

const failUsage = (message: string): never => {
  throw new CliError(message, exitCodes.usage);
};

/** Parses a row kind. @throws CliError `usage` that suggests the nearest kind */
export const parseRowKind = (text: string): RowKind => {
  const kind = ROW_KINDS.find((candidate) => candidate === text);
  if (kind) return kind;
  const nearest = findNearestKey(text, ROW_KINDS);
  const hint = nearest ? `; did you mean "${nearest}"?` : '';
  return failUsage(`unknown kind "${text}"${hint} (kinds: ${ROW_KINDS.join(', ')})`);
};

/** Parses "kind/id". @throws CliError `usage` */
export const parseRowKey = (text: string): ParsedRowKey => {
  const [kindText = '', id = '', ...rest] = text.split('/');
  const kind = parseRowKind(kindText);
  if (rest.length > 0 || !ID_PATTERN.test(id)) {
    failUsage(
      `"${text}" is not a row key; use KIND/ID with an id of a-z, 0-9, dot, underscore, hyphen`,
    );
  }
  return { kind, id, key: `${kind}/${id}` };
};

/** Compares rows by kind in dependency order, then by id. */
export const compareRows = (left: Row, right: Row): number =>
  ROW_KINDS.indexOf(left.kind) - ROW_KINDS.indexOf(right.kind) ||
  (left.id < right.id ? -1 : Number(left.id > right.id));
