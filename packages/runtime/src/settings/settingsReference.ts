import type { z } from 'zod';
import { toJsonSchema } from './jsonSchema.js';
import type { JsonSchemaNode } from './jsonSchema.js';

/** A binary and the schema of its settings file. */
export interface BinarySettings {
  readonly name: string;
  readonly schema: z.ZodType;
}

/** One settings field in the reference page. */
export interface SettingsField {
  /** Path of the field, for example "listen.port" or "accounts[].id". */
  readonly path: string;
  readonly allowedValues: string;
  /** Default value as JSON; undefined if there is none. */
  readonly defaultJson: string | undefined;
  readonly isRequired: boolean;
  readonly description: string;
}

const formatJson = (value: unknown): string => JSON.stringify(value);

const describeRange = (node: JsonSchemaNode): string => {
  const minimum = node.minimum ?? node.minLength ?? node.minItems;
  const maximum = node.maximum ?? node.maxLength ?? node.maxItems;
  const parts = [
    node.exclusiveMinimum === undefined ? '' : `over ${node.exclusiveMinimum}`,
    minimum === undefined || minimum === Number.MIN_SAFE_INTEGER ? '' : `from ${minimum}`,
    maximum === undefined || maximum === Number.MAX_SAFE_INTEGER ? '' : `to ${maximum}`,
  ].filter((part) => part !== '');
  const unit = node.type === 'string' ? ' characters' : '';
  return parts.length === 0 ? '' : `, ${parts.join(' ')}${unit}`;
};

const listAlternatives = (node: JsonSchemaNode): readonly JsonSchemaNode[] => [
  ...(node.anyOf ?? []),
  ...(node.oneOf ?? []),
];

const describeObject = (node: JsonSchemaNode): string => {
  const keys = Object.keys(node.properties ?? {});
  return keys.length === 0 ? 'object' : `object with ${keys.join(', ')}`;
};

/** Describes the values that a schema node accepts. */
export const describeAllowedValue = (node: JsonSchemaNode): string => {
  const alternatives = listAlternatives(node);
  if (alternatives.length > 0) return alternatives.map(describeAllowedValue).join(' or ');
  if (node.const !== undefined) return formatJson(node.const);
  if (node.enum) return node.enum.map(formatJson).join(', ');
  if (node.type === 'object') return describeObject(node);
  if (node.type === 'array') {
    const item = node.items?.type;
    const items = item === undefined ? '' : ` of ${item}s`;
    return `list${items}${describeRange(node)}`;
  }
  const pattern = node.pattern === undefined ? '' : `, matching ${node.pattern}`;
  return `${node.type ?? 'any value'}${describeRange(node)}${pattern}`;
};

const listDiscriminators = (node: JsonSchemaNode): string[] =>
  Object.values(node.properties ?? {}).flatMap((property) =>
    property.const === undefined ? [] : [String(property.const)],
  );

type ListFields = (node: JsonSchemaNode, path: string) => SettingsField[];

const listChildFields = (
  node: JsonSchemaNode,
  path: string,
  listFields: ListFields,
): SettingsField[] => {
  const alternatives = listAlternatives(node);
  // A union of objects without a discriminator, such as a secret reference, is shown in one row.
  if (
    alternatives.length > 0 &&
    alternatives.every((alternative) => !listDiscriminators(alternative).length)
  )
    return [];
  if (alternatives.length > 0) {
    return alternatives.flatMap((alternative) =>
      listFields(alternative, `${path}(${listDiscriminators(alternative).join(', ')})`),
    );
  }
  return node.items ? listChildFields(node.items, `${path}[]`, listFields) : listFields(node, path);
};

const listFields: ListFields = (node, path) =>
  Object.entries(node.properties ?? {}).flatMap(([name, property]) => {
    const fieldPath = path === '' ? name : `${path}.${name}`;
    const isRequired = node.required?.includes(name) ?? false;
    const field: SettingsField = {
      path: fieldPath,
      allowedValues: describeAllowedValue(property),
      defaultJson: property.default === undefined ? undefined : formatJson(property.default),
      isRequired,
      description: property.description ?? '',
    };
    return [field, ...listChildFields(property, fieldPath, listFields)];
  });

/** Lists all fields of a settings schema. */
export const listSettingsFields = (schema: z.ZodType): SettingsField[] =>
  listFields(toJsonSchema(schema), '');

/** Lists the fields without a description, except those that accept a single literal string. */
export const listUndocumentedFields = ({ name, schema }: BinarySettings): string[] =>
  listSettingsFields(schema)
    .filter(
      ({ description, allowedValues }) => description === '' && !/^"[^"]*"$/.test(allowedValues),
    )
    .map(({ path }) => `${name}: ${path}`);

const formatCell = (text: string): string => text.replaceAll('|', '\\|').replaceAll('\n', ' ');

const formatCode = (text: string): string => `\`${formatCell(text)}\``;

const formatRow = (field: SettingsField): string => {
  const noDefaultText = field.isRequired ? 'required' : 'none';
  const cells = [
    formatCode(field.path),
    formatCode(field.allowedValues),
    field.defaultJson === undefined ? noDefaultText : formatCode(field.defaultJson),
    formatCell(field.description),
  ];
  return `| ${cells.join(' | ')} |`;
};

const renderBinarySection = ({ name, schema }: BinarySettings): string =>
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
    ...binaries.map((binary) => `${renderBinarySection(binary)}\n`),
  ].join('\n');
