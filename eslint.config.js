import gts from 'gts';

const ADAPTER_FOLDERS = ['http', 'log', 'platform', 'engine', 'peer', 'metrics', 'logging', 'bin'];

const ADAPTER_IMPORT_MESSAGE =
  'Controllers must not import adapters: they return decisions, which adapters execute.';

const config = [
  ...gts,
  {
    ignores: ['dist/**', 'node_modules/**', 'src/peer/generated/**'],
  },
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {project: './tsconfig.json'},
    },
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', package: '@tapjs/test', name: 'test'},
            {from: 'package', package: '@tapjs/core', name: 'test'},
          ],
        },
      ],
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-namespace': 'error',
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  {
    files: ['src/controllers/**/*.ts', 'src/blackboard/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: ADAPTER_FOLDERS.map(folder => ({
            group: [`**/${folder}/**`],
            message: ADAPTER_IMPORT_MESSAGE,
          })),
        },
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now', message: 'Pass nowMs as an argument.'},
        {object: 'performance', property: 'now', message: 'Pass nowMs as an argument.'},
        {object: 'Math', property: 'random', message: 'Pass a random function as an argument.'},
      ],
    },
  },
  {
    files: ['scripts/**/*.mjs', '*.js'],
    rules: {'n/no-process-exit': 'off', 'no-undef': 'off'},
  },
];

export {config as default};
