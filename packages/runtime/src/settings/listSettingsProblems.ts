import type { z } from 'zod';
import { isSecretPath, MASK, maskSecrets } from './maskSecrets.js';
import { findNearestKey } from './nearestKey.js';
import { findDescription, listKnownKeys } from './jsonSchema.js';
import type { JsonSchemaNode } from './jsonSchema.js';
import type { SettingsProblem } from './settingsError.js';

const MAX_SHOWN_VALUE_CHARS = 120;

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

const describeActualValue = (root: unknown, path: Path): string => {
  const value = getValueAt(root, path);
  if (value === undefined) return 'nothing';
  if (isSecretPath(path) && typeof value !== 'object') return MASK;
  const text = JSON.stringify(maskSecrets(value, path));
  return text.length > MAX_SHOWN_VALUE_CHARS ? `${text.slice(0, MAX_SHOWN_VALUE_CHARS)}...` : text;
};

const toUnknownKeyProblems = (
  issue: Extract<Issue, { code: 'unrecognized_keys' }>,
  path: Path,
  root: unknown,
  tree: JsonSchemaNode,
): SettingsProblem[] => {
  const knownKeys = listKnownKeys(tree, path);
  return issue.keys.map((key) => {
    const nearestKey = findNearestKey(key, knownKeys);
    return {
      path: formatPath([...path, key]),
      found: describeActualValue(root, [...path, key]),
      allowed: `unknown key; known keys: ${knownKeys.join(', ') || 'none'}`,
      ...(nearestKey === undefined ? {} : { nearestKey }),
    };
  });
};

const describeAllowedValues = (message: string, path: Path, tree: JsonSchemaNode): string => {
  const description = findDescription(tree, path);
  const allowed = message.replace(/^Invalid (input|option|string): /, 'allowed: ');
  return description ? `${allowed} (${description.replace(/\.$/, '')})` : allowed;
};

const hasFewerIssues = (left: readonly Issue[], right: readonly Issue[]): boolean =>
  left.length < right.length;

const pickVariantWithFewestIssues = (variants: readonly (readonly Issue[])[]): readonly Issue[] =>
  variants.reduce((best, variant) => (hasFewerIssues(variant, best) ? variant : best));

const toProblems = (
  issue: Issue,
  parentPath: Path,
  root: unknown,
  tree: JsonSchemaNode,
): SettingsProblem[] => {
  const path = [...parentPath, ...issue.path];
  if (issue.code === 'unrecognized_keys') return toUnknownKeyProblems(issue, path, root, tree);
  if (issue.code === 'invalid_union' && issue.errors.length > 0) {
    return pickVariantWithFewestIssues(issue.errors).flatMap((inner) =>
      toProblems(inner, path, root, tree),
    );
  }
  return [
    {
      path: formatPath(path),
      found: describeActualValue(root, path),
      allowed: describeAllowedValues(issue.message, path, tree),
    },
  ];
};

/** Converts the issues that a schema reports for a value to settings problems. */
export const listSettingsProblems = (
  issues: readonly Issue[],
  root: unknown,
  tree: JsonSchemaNode,
): SettingsProblem[] => issues.flatMap((issue) => toProblems(issue, [], root, tree));
