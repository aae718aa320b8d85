import { z } from 'zod';

/** A node of a schema in JSON Schema form, reduced to what settings use. */
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

/** Builds the tree of what a schema takes in. */
export const buildSchemaTree = (schema: z.ZodType): SchemaNode =>
  z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any', reused: 'inline' }) as SchemaNode;

const listVariants = (node: SchemaNode): readonly SchemaNode[] => {
  const variants = [...(node.anyOf ?? []), ...(node.oneOf ?? []), ...(node.allOf ?? [])];
  return [node, ...variants.flatMap((variant) => [...listVariants(variant)])];
};

const listChildren = (node: SchemaNode, part: PropertyKey): readonly SchemaNode[] => {
  if (typeof part === 'number') return node.items ? [node.items] : [];
  const name = String(part);
  if (node.properties && Object.hasOwn(node.properties, name)) {
    const property = node.properties[name];
    return property ? [property] : [];
  }
  return typeof node.additionalProperties === 'object' ? [node.additionalProperties] : [];
};

/** Lists the nodes that may describe the value at a path. */
export const listSchemaNodes = (
  tree: SchemaNode,
  path: readonly PropertyKey[],
): readonly SchemaNode[] => {
  let nodes = listVariants(tree);
  for (const part of path) {
    nodes = nodes.flatMap((node) => listChildren(node, part)).flatMap(listVariants);
  }
  return nodes;
};

/** Lists the keys that an object at a path may have. */
export const listKnownKeys = (tree: SchemaNode, path: readonly PropertyKey[]): string[] => [
  ...new Set(listSchemaNodes(tree, path).flatMap((node) => Object.keys(node.properties ?? {}))),
];

/** Finds the description of the value at a path. */
export const findDescription = (
  tree: SchemaNode,
  path: readonly PropertyKey[],
): string | undefined => listSchemaNodes(tree, path).find((node) => node.description)?.description;
