import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

const LONGEST_FILE_LINES = 300;
const LONGEST_FUNCTION_LINES = 60;

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'measurements/**',
      'target/**',
    ],
  },
  js.configs.recommended,
  {
    files: ['**/*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
  },
  {
    files: ['**/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {
        __dirname: 'readonly',
        exports: 'readonly',
        module: 'readonly',
        process: 'readonly',
        require: 'readonly',
      },
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    extends: [...tseslint.configs.recommendedTypeChecked],
    plugins: {jsdoc},
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/consistent-type-definitions': ['error', 'interface'],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'interface',
          format: ['PascalCase'],
          custom: {regex: '^I[A-Z]|(Interface|Type|Impl)$', match: false},
        },
      ],
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      'max-lines': ['error', {max: LONGEST_FILE_LINES}],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Named exports only (Google TypeScript Style).',
        },
        {
          selector: 'TSEnumDeclaration[const=true]',
          message: 'No const enums (Google TypeScript Style).',
        },
      ],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'prefer-const': 'error',
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      'max-lines-per-function': ['error', {max: LONGEST_FUNCTION_LINES}],
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {
            ClassDeclaration: true,
            FunctionDeclaration: true,
            MethodDefinition: true,
          },
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'TSEnumDeclaration',
          ],
          checkConstructors: false,
        },
      ],
    },
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
  prettier,
);
