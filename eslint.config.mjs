import { configs, plugins } from 'eslint-config-airbnb-extended';

const houseRules = {
  // Generators are the house style's control flow.
  'no-restricted-syntax': [
    'error',
    { selector: 'ForInStatement', message: 'Use Object.keys, Object.values or Object.entries.' },
    { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
    { selector: 'WithStatement', message: 'with is disallowed in strict mode.' },
  ],
  'no-void': ['error', { allowAsStatement: true }],
  'no-param-reassign': ['error', { props: false }],
  'no-continue': 'off',
  'no-await-in-loop': 'off',
  'import-x/prefer-default-export': 'off',
  'import-x/extensions': 'off',
  'import-x/no-cycle': 'off',
  'import-x/no-extraneous-dependencies': 'off',
  'import-x/no-rename-default': 'off',
  'import-x/no-unresolved': 'off',
  '@typescript-eslint/naming-convention': 'off',
  '@typescript-eslint/no-use-before-define': ['error', { functions: false, classes: true, variables: false }],
};

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'results/**', 'target/**', 'journal/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: houseRules,
  },
  { files: ['**/*.mjs', '**/*.js'], rules: houseRules },
  // The command line library makes each command a class.
  { files: ['packages/command-line/src/**/*.ts'], rules: { 'max-classes-per-file': 'off' } },
  // Layout belongs to the formatter.
  {
    rules: Object.fromEntries(
      Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((name) => [`@stylistic/${name}`, 'off']),
    ),
  },
];
