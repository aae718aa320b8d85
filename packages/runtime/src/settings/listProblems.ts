import type { z } from 'zod';
import { isSecretPath, MASK, maskSecrets } from './maskSecrets.js';
import { findNearestKey } from './nearestKey.js';
import { findDescription, listKnownKeys } from './schemaTree.js';
import type { SchemaNode } from './schemaTree.js';
import type { SettingsProblem } from './settingsError.js';

const LARGEST_SHOWN_VALUE_CHARS = 120;

type Issue = z.core.$ZodIssue;
type Path = readonly PropertyKey[];

const formatPath = (path: Path): string =>
  path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    return text ? `${text}.${String(part)}` : String(part);
  }, '');

const getValueAt = (root: unknown, path: Path): unknown =>
  path.reduce<unknown>((value, part) => {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, part)) {
      return undefined;
    }
    return (value as Record<PropertyKey, unknown>)[part];
  }, root);

const describeFound = (root: unknown, path: Path): string => {
  const value = getValueAt(root, path);
  if (value === undefined) return 'nothing';
  if (isSecretPath(path) && typeof value !== 'object') return MASK;
  const text = JSON.stringify(maskSecrets(value, path));
  return text.length > LARGEST_SHOWN_VALUE_CHARS
    ? `${text.slice(0, LARGEST_SHOWN_VALUE_CHARS)}...`
    : text;
};

const toUnknownKeyProblems = (
  issue: Extract<Issue, { code: 'unrecognized_keys' }>,
  path: Path,
  root: unknown,
  tree: SchemaNode,
): SettingsProblem[] => {
  const knownKeys = listKnownKeys(tree, path);
  return issue.keys.map((key) => {
    const nearestKey = findNearestKey(key, knownKeys);
    return {
      path: formatPath([...path, key]),
      found: describeFound(root, [...path, key]),
      allowed: `unknown key; known keys: ${knownKeys.join(', ') || 'none'}`,
      ...(nearestKey === undefined ? {} : { nearestKey }),
    };
  });
};

const describeAllowed = (message: string, path: Path, tree: SchemaNode): string => {
  const description = findDescription(tree, path);
  const allowed = message.replace(/^Invalid (input|option|string): /, 'allowed: ');
  return description ? `${allowed} (${description.replace(/\.$/, '')})` : allowed;
};

const isCloserVariant = (left: readonly Issue[], right: readonly Issue[]): boolean =>
  left.length < right.length;

const pickClosestVariant = (variants: readonly (readonly Issue[])[]): readonly Issue[] =>
  variants.reduce((best, variant) => (isCloserVariant(variant, best) ? variant : best));

const toProblems = (
  issue: Issue,
  base: Path,
  root: unknown,
  tree: SchemaNode,
): SettingsProblem[] => {
  const path = [...base, ...issue.path];
  if (issue.code === 'unrecognized_keys') return toUnknownKeyProblems(issue, path, root, tree);
  if (issue.code === 'invalid_union' && issue.errors.length > 0) {
    return pickClosestVariant(issue.errors).flatMap((inner) => toProblems(inner, path, root, tree));
  }
  return [
    {
      path: formatPath(path),
      found: describeFound(root, path),
      allowed: describeAllowed(issue.message, path, tree),
    },
  ];
};

/** Lists every problem that a schema found in a value. */
export const listProblems = (
  issues: readonly Issue[],
  root: unknown,
  tree: SchemaNode,
): SettingsProblem[] => issues.flatMap((issue) => toProblems(issue, [], root, tree));
