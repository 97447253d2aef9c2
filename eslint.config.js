import tseslint from 'typescript-eslint';

/** Rules follow the Google TypeScript Style Guide; layout is prettier's. */
export default tseslint.config(
  {
    ignores: [
      '**/lib/**',
      '**/node_modules/**',
      'coverage/**',
      'target/**',
      'journal/**',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts', '**/*.mjs', '**/*.js'],
    rules: {
      'prefer-const': 'error',
      'no-var': 'error',
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'no-throw-literal': 'error',
      'default-case': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
    },
  },
  {
    // What the runtime loads with require() can only use that.
    files: ['**/*.cjs'],
    rules: {'@typescript-eslint/no-require-imports': 'off'},
  },
  {
    // A promise that nobody awaits ends the process when it rejects.
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: [
      '**/__tests__/**',
      '**/standins/**',
      'packages/banyanfold-standins/**',
      'packages/banyanfold-testing/**',
    ],
    languageOptions: {parserOptions: {projectService: true}},
    rules: {
      '@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: false}],
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase', 'PascalCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
          leadingUnderscore: 'allow',
        },
      ],
    },
  },
);
