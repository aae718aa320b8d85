import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import goldcrest from './scripts/eslint/verbNames.js';

// Every deviation from the guide below is explained in docs/HOUSE-STYLE.md.
export default [
  { ignores: ['**/dist/**', 'coverage/**', '**/node_modules/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-await-in-loop': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': ['error', { ignoreOverrideMethods: true }],
      'no-void': ['error', { allowAsStatement: true }],
      'no-param-reassign': [
        'error',
        { props: true, ignorePropertyModificationsFor: ['exchange', 'attempt'] },
      ],
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries with for...of.' },
        { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
      ],
      'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: [
      'packages/*/src/**/*.ts',
      'platform/src/**/*.ts',
      'platform/{standin,profile,bundle}/**/*.ts',
      'bench/**/*.ts',
      'scripts/**/*.ts',
      'soak/**/*.ts',
    ],
    ignores: ['**/__tests__/**'],
    plugins: { goldcrest },
    rules: { 'goldcrest/verb-names': 'error' },
  },
  {
    files: [
      '**/*.js',
      '**/*.cjs',
      'bench/**',
      'scripts/**',
      'soak/**',
      'platform/{profile,bundle}/**',
      'tests/**',
      '**/__tests__/**',
      '**/cli.ts',
    ],
    rules: { 'n/no-sync': 'off' },
  },
  {
    files: ['**/__tests__/**', 'tests/**'],
    rules: { 'max-lines-per-function': 'off', 'max-classes-per-file': 'off' },
  },
  {
    files: ['bench/**', 'scripts/**', 'platform/{profile,bundle}/**', '**/cli.ts', 'playground/**'],
    rules: { 'no-console': 'off', 'n/no-process-exit': 'off' },
  },
];
