import { readdirSync } from 'node:fs';
import { importX, createNodeResolver } from 'eslint-plugin-import-x';
import { createTypeScriptImportResolver } from 'eslint-import-resolver-typescript';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/**
 * Imports point downwards only: coordination > cluster > storage > protocol > transport; main.ts wires. Subsystems have a
 * place of their own above the layers they use, and one public entry.
 */
const layers = ['transport', 'protocol', 'storage', 'cluster', 'coordination'];
const subsystems = {
  pipelines: ['transport', 'protocol'],
  state: ['transport', 'protocol'],
  agent: ['transport', 'protocol'],
  provider: ['transport', 'protocol'],
  keys: ['transport', 'protocol'],
  console: ['transport', 'protocol'],
  appliance: layers,
};

/**
 * Folders whose exported parts all have doc comments. Whoever finishes a folder adds it; `npm run lint` prints those
 * that are left.
 */
const documentedFolders = [
  'src/storage',
  'src/cluster',
  'src/coordination/completion',
  'src/coordination/dispatch',
  'src/coordination/failover',
  'src/coordination/fair-share',
  'src/coordination/fleet',
  'src/coordination/heartbeats',
];

const sourceFolders = readdirSync('src', { recursive: true, withFileTypes: true })
  .filter((entry) => entry.isFile())
  .map((entry) => entry.parentPath.replaceAll('\\', '/'));
const undocumentedFolders = [...new Set(sourceFolders)].filter(
  (folder) => !documentedFolders.some((done) => folder === done || folder.startsWith(`${done}/`)),
);
console.error(`Folders without required doc comments: ${undocumentedFolders.sort().join(', ')}`);

const restrictImports = (files, patterns) => ({
  files,
  rules: { 'no-restricted-imports': ['error', { patterns }] },
});
const layerRules = layers.map((layer, i) =>
  restrictImports(
    [`src/${layer}/**/*.ts`],
    [
      {
        group: [
          ...layers.slice(i + 1).map((l) => `**/${l}/**`),
          // Coordination has a folder of the same name, for what it decides of pipelines.
          ...Object.keys(subsystems).flatMap((s) => [`**/src/${s}/**`, `../${s}/index.js`]),
          '**/main.js',
        ],
        message: 'imports point downwards only',
      },
    ],
  ),
);
const subsystemRules = Object.entries(subsystems).map(([name, uses]) =>
  restrictImports(
    [`src/${name}/**/*.ts`],
    [
      {
        group: [...layers.filter((l) => !uses.includes(l)).map((l) => `**/${l}/**`), '**/main.js'],
        message: `${name} stands on ${uses.join(' and ')} alone`,
      },
    ],
  ),
);
const entryRules = restrictImports(
  ['src/*.ts', 'test/**/*.ts'],
  Object.keys(subsystems).map((s) => ({
    regex: `(\\./|src/)${s}/(?!index\\.js)`,
    message: `${s} has one public entry, index.js`,
  })),
);

const typeChecked = {
  files: ['src/**/*.ts', 'src/**/*.cts', 'test/**/*.ts'],
  extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
  languageOptions: {
    parserOptions: { project: ['./test/tsconfig.json'], tsconfigRootDir: import.meta.dirname },
  },
  rules: {
    '@typescript-eslint/no-non-null-assertion': 'off',
    '@typescript-eslint/no-extraneous-class': 'off',
    '@typescript-eslint/switch-exhaustiveness-check': 'error',
    // Branded numbers and bigints print as what they are.
    '@typescript-eslint/restrict-template-expressions': [
      'error',
      { allowNumber: true, allowBoolean: true, allowNullish: false, allowRegExp: false, allowNever: true },
    ],
    '@typescript-eslint/no-confusing-void-expression': [
      'error',
      { ignoreArrowShorthand: true, ignoreVoidReturningFunctions: true },
    ],
    // The runner of node:test awaits its own tests.
    '@typescript-eslint/no-floating-promises': [
      'error',
      {
        allowForKnownSafeCalls: [
          { from: 'package', package: 'node:test', name: ['test', 'it', 'describe', 'suite'] },
        ],
      },
    ],
    '@typescript-eslint/naming-convention': [
      'error',
      { selector: 'typeLike', format: ['PascalCase'] },
      { selector: ['function', 'classMethod', 'parameterProperty'], format: ['camelCase', 'PascalCase'] },
      {
        selector: 'variable',
        format: ['camelCase', 'PascalCase', 'UPPER_CASE'],
        leadingUnderscore: 'allow',
      },
      { selector: 'parameter', format: ['camelCase', 'PascalCase'], leadingUnderscore: 'allow' },
    ],
    'import-x/no-cycle': 'error',
    'import-x/no-self-import': 'error',
    eqeqeq: 'error',
  },
};

/** Messages of failed checks may show a value that is missing. */
const testMessages = {
  files: ['test/**/*.ts'],
  rules: {
    '@typescript-eslint/restrict-template-expressions': [
      'error',
      { allowNumber: true, allowBoolean: true, allowNullish: true, allowNever: true },
    ],
  },
};

const documentation = {
  files: documentedFolders.map((folder) => `${folder}/**/*.ts`),
  plugins: { jsdoc },
  rules: {
    'jsdoc/require-jsdoc': [
      'error',
      {
        publicOnly: true,
        require: { ClassDeclaration: true, FunctionDeclaration: true },
        contexts: [
          'TSInterfaceDeclaration',
          'TSTypeAliasDeclaration',
          'ExportNamedDeclaration > VariableDeclaration',
        ],
      },
    ],
    'jsdoc/no-types': 'error',
    'jsdoc/check-alignment': 'error',
    'jsdoc/check-param-names': 'error',
  },
};

export default tseslint.config(
  { plugins: { 'import-x': importX } },
  {
    settings: {
      'import-x/resolver-next': [
        createTypeScriptImportResolver({ project: './test/tsconfig.json' }),
        createNodeResolver(),
      ],
    },
  },
  typeChecked,
  documentation,
  testMessages,
  ...layerRules,
  ...subsystemRules,
  entryRules,
);
