import { readFileSync } from 'node:fs';

/**
 * ESLint rule: function names begin with a verb from docs/VERBS.md, which lists one verb per line
 * as "- `verb`: meaning".
 */
const VERBS_PAGE = new URL('../../docs/VERBS.md', import.meta.url);
const VERB_LINE = /^- `([a-z]+)`/gm;

const readVerbs = () => {
  const page = readFileSync(VERBS_PAGE, 'utf8');
  return new Set([...page.matchAll(VERB_LINE)].map((match) => match[1]));
};

const verbs = readVerbs();

const isFunction = (node) =>
  node?.type === 'ArrowFunctionExpression' || node?.type === 'FunctionExpression';

const beginsWithVerb = (name) => verbs.has(/^_?([a-z]+)/.exec(name)?.[1]);

export const verbNames = {
  meta: {
    type: 'suggestion',
    docs: { description: 'function names begin with a verb from docs/VERBS.md' },
    messages: {
      noVerb:
        "'{{name}}' does not begin with a verb from docs/VERBS.md; rename it or add the verb.",
    },
    schema: [],
  },
  create(context) {
    const checkName = (node, name) => {
      if (!name || beginsWithVerb(name)) return;
      context.report({ node, messageId: 'noVerb', data: { name } });
    };
    return {
      FunctionDeclaration(node) {
        checkName(node, node.id?.name);
      },
      VariableDeclarator(node) {
        if (isFunction(node.init)) checkName(node, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind === 'method') checkName(node, node.key.name);
      },
      TSAbstractMethodDefinition(node) {
        if (node.kind === 'method') checkName(node, node.key.name);
      },
      TSMethodSignature(node) {
        checkName(node, node.key.name);
      },
    };
  },
};

export default { rules: { 'verb-names': verbNames } };
