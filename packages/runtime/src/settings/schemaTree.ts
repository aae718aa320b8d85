import { z } from 'zod';

/** A JSON Schema node, limited to the keywords that settings use. */
export interface SchemaNode {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly additionalProperties?: SchemaNode | boolean;
  readonly anyOf?: readonly SchemaNode[];
  readonly oneOf?: readonly SchemaNode[];
  readonly allOf?: readonly SchemaNode[];
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
export const buildSchemaTree = (schema: z.ZodType): SchemaNode =>
  z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any', reused: 'inline' }) as SchemaNode;

const listVariants = (node: SchemaNode): readonly SchemaNode[] => {
  const variants = [...(node.anyOf ?? []), ...(node.oneOf ?? []), ...(node.allOf ?? [])];
  return [node, ...variants.flatMap((variant) => [...listVariants(variant)])];
};

const listChildNodes = (node: SchemaNode, part: PropertyKey): readonly SchemaNode[] => {
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
  tree: SchemaNode,
  path: readonly PropertyKey[],
): readonly SchemaNode[] => {
  let nodes = listVariants(tree);
  for (const part of path) {
    nodes = nodes.flatMap((node) => listChildNodes(node, part)).flatMap(listVariants);
  }
  return nodes;
};

/** Lists the keys that the schema declares for an object at a path. */
export const listKnownKeys = (tree: SchemaNode, path: readonly PropertyKey[]): string[] => [
  ...new Set(listSchemaNodes(tree, path).flatMap((node) => Object.keys(node.properties ?? {}))),
];

/** Finds the description of the value at a path. */
export const findDescription = (
  tree: SchemaNode,
  path: readonly PropertyKey[],
): string | undefined => listSchemaNodes(tree, path).find((node) => node.description)?.description;
