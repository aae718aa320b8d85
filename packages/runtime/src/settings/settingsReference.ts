import type { z } from 'zod';
import { buildSchemaTree } from './schemaTree.js';
import type { SchemaNode } from './schemaTree.js';

/** A binary and the schema of its settings file. */
export interface BinarySettings {
  readonly name: string;
  readonly schema: z.ZodType;
}

/** One settings field as the reference shows it. */
export interface SettingsField {
  /** For example "listen.port" or "accounts[].id". */
  readonly path: string;
  readonly allowed: string;
  /** Value in force where the field is missing; undefined where there is none. */
  readonly defaultText: string | undefined;
  readonly required: boolean;
  readonly description: string;
}

const formatValue = (value: unknown): string => JSON.stringify(value);

const describeRange = (node: SchemaNode): string => {
  const least = node.minimum ?? node.minLength ?? node.minItems;
  const most = node.maximum ?? node.maxLength ?? node.maxItems;
  const parts = [
    node.exclusiveMinimum === undefined ? '' : `over ${node.exclusiveMinimum}`,
    least === undefined || least === Number.MIN_SAFE_INTEGER ? '' : `from ${least}`,
    most === undefined || most === Number.MAX_SAFE_INTEGER ? '' : `to ${most}`,
  ].filter((part) => part !== '');
  const subject = node.type === 'string' ? ' characters' : '';
  return parts.length === 0 ? '' : `, ${parts.join(' ')}${subject}`;
};

const listAlternatives = (node: SchemaNode): readonly SchemaNode[] => [
  ...(node.anyOf ?? []),
  ...(node.oneOf ?? []),
];

const describeObject = (node: SchemaNode): string => {
  const keys = Object.keys(node.properties ?? {});
  return keys.length === 0 ? 'object' : `object with ${keys.join(', ')}`;
};

/** Describes what a schema node takes. */
export const describeAllowedValue = (node: SchemaNode): string => {
  const alternatives = listAlternatives(node);
  if (alternatives.length > 0) return alternatives.map(describeAllowedValue).join(' or ');
  if (node.const !== undefined) return formatValue(node.const);
  if (node.enum) return node.enum.map(formatValue).join(', ');
  if (node.type === 'object') return describeObject(node);
  if (node.type === 'array') {
    const item = node.items?.type;
    const items = item === undefined ? '' : ` of ${item}s`;
    return `list${items}${describeRange(node)}`;
  }
  const pattern = node.pattern === undefined ? '' : `, matching ${node.pattern}`;
  return `${node.type ?? 'any value'}${describeRange(node)}${pattern}`;
};

const listTags = (node: SchemaNode): string[] =>
  Object.values(node.properties ?? {}).flatMap((property) =>
    property.const === undefined ? [] : [String(property.const)],
  );

type ListFields = (node: SchemaNode, path: string) => SettingsField[];

const listChildFields = (
  node: SchemaNode,
  path: string,
  listFields: ListFields,
): SettingsField[] => {
  const alternatives = listAlternatives(node);
  // A choice between small objects, such as a secret's place, is shown in one line.
  if (alternatives.length > 0 && alternatives.every((one) => !listTags(one).length)) return [];
  if (alternatives.length > 0) {
    return alternatives.flatMap((one) => listFields(one, `${path}(${listTags(one).join(', ')})`));
  }
  return node.items ? listChildFields(node.items, `${path}[]`, listFields) : listFields(node, path);
};

const listFields: ListFields = (node, path) =>
  Object.entries(node.properties ?? {}).flatMap(([name, property]) => {
    const fieldPath = path === '' ? name : `${path}.${name}`;
    const isRequired = node.required?.includes(name) ?? false;
    const field: SettingsField = {
      path: fieldPath,
      allowed: describeAllowedValue(property),
      defaultText: property.default === undefined ? undefined : formatValue(property.default),
      required: isRequired,
      description: property.description ?? '',
    };
    return [field, ...listChildFields(property, fieldPath, listFields)];
  });

/** Lists every field of a settings schema. */
export const listSettingsFields = (schema: z.ZodType): SettingsField[] =>
  listFields(buildSchemaTree(schema), '');

/** Lists the fields that have no description; a field with one allowed value needs none. */
export const listUndocumentedFields = ({ name, schema }: BinarySettings): string[] =>
  listSettingsFields(schema)
    .filter(({ description, allowed }) => description === '' && !/^"[^"]*"$/.test(allowed))
    .map(({ path }) => `${name}: ${path}`);

const formatCell = (text: string): string => text.replaceAll('|', '\\|').replaceAll('\n', ' ');

const formatCode = (text: string): string => `\`${formatCell(text)}\``;

const formatRow = (field: SettingsField): string => {
  const missing = field.required ? 'required' : 'none';
  const cells = [
    formatCode(field.path),
    formatCode(field.allowed),
    field.defaultText === undefined ? missing : formatCode(field.defaultText),
    formatCell(field.description),
  ];
  return `| ${cells.join(' | ')} |`;
};

const renderBinary = ({ name, schema }: BinarySettings): string =>
  [
    `## ${name}`,
    '',
    '| field | allowed | default | meaning |',
    '| --- | --- | --- | --- |',
    ...listSettingsFields(schema).map(formatRow),
  ].join('\n');

/** Renders the settings reference of several binaries as Markdown. */
export const renderSettingsReference = (binaries: readonly BinarySettings[]): string =>
  [
    '# Settings',
    '',
    'This page is generated from the schemas by `npx tsx scripts/settingsReference.ts`.',
    '',
    'Settings files are JSON. Every problem of a file is reported at once with its path, the value',
    'found and what is allowed; an unknown key is refused with the nearest known one. `--check`',
    'checks a file, `--print-config` prints the settings in force with secrets masked. Secrets are',
    'read from a file or the environment, as `{"file": PATH}` or `{"env": NAME}`.',
    '',
    ...binaries.map((binary) => `${renderBinary(binary)}\n`),
  ].join('\n');
