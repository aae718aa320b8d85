import { z } from 'zod';

/** A JSON Schema node, limited to the keywords that settings use. */
export interface JsonSchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, JsonSchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchemaNode;
  readonly additionalProperties?: JsonSchemaNode | boolean;
  readonly anyOf?: readonly JsonSchemaNode[];
  readonly oneOf?: readonly JsonSchemaNode[];
  readonly allOf?: readonly JsonSchemaNode[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly exclusiveMaximum?: number;
  readonly minLength?: number;
  readonly maxLength?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly pattern?: string;
}

/** Converts the input side of a zod schema to JSON Schema. */
export const toJsonSchema = (schema: z.ZodType): JsonSchemaNode =>
  z.toJSONSchema(schema, {
    io: 'input',
    unrepresentable: 'any',
    reused: 'inline',
  }) as JsonSchemaNode;

const listVariants = (node: JsonSchemaNode): readonly JsonSchemaNode[] => {
  const variants = [...(node.anyOf ?? []), ...(node.oneOf ?? []), ...(node.allOf ?? [])];
  return [node, ...variants.flatMap((variant) => [...listVariants(variant)])];
};

const listChildNodes = (node: JsonSchemaNode, part: PropertyKey): readonly JsonSchemaNode[] => {
  if (typeof part === 'number') return node.items ? [node.items] : [];
  const name = String(part);
  if (node.properties && Object.hasOwn(node.properties, name)) {
    const property = node.properties[name];
    return property ? [property] : [];
  }
  return typeof node.additionalProperties === 'object' ? [node.additionalProperties] : [];
};

/** Lists the nodes that may apply to the value at a path, across all union variants. */
export const listSchemaNodes = (
  tree: JsonSchemaNode,
  path: readonly PropertyKey[],
): readonly JsonSchemaNode[] => {
  let nodes = listVariants(tree);
  for (const part of path) {
    nodes = nodes.flatMap((node) => listChildNodes(node, part)).flatMap(listVariants);
  }
  return nodes;
};

/** Lists the keys that the schema declares for an object at a path. */
export const listKnownKeys = (tree: JsonSchemaNode, path: readonly PropertyKey[]): string[] => [
  ...new Set(listSchemaNodes(tree, path).flatMap((node) => Object.keys(node.properties ?? {}))),
];

/** Finds the description of the value at a path. */
export const findDescription = (
  tree: JsonSchemaNode,
  path: readonly PropertyKey[],
): string | undefined => listSchemaNodes(tree, path).find((node) => node.description)?.description;
