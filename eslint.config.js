import tseslint from 'typescript-eslint';

/**
 * Imports point downwards only: coordination > bookkeeping > protocol > transport; main.ts wires. Subsystems have a place of
 * their own above the layers they use, and one public entry.
 */
const layers = ['transport', 'protocol', 'bookkeeping', 'coordination'];
const subsystems = {
  pipelines: ['transport', 'protocol'],
  state: ['transport', 'protocol'],
  agent: ['transport', 'protocol'],
  provider: ['transport', 'protocol'],
  keys: ['transport', 'protocol'],
  console: ['transport', 'protocol'],
  appliance: layers,
};
const layerRules = layers.map((layer, i) => ({
  files: [`src/${layer}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
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
      },
    ],
  },
}));
const subsystemRules = Object.entries(subsystems).map(([name, uses]) => ({
  files: [`src/${name}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: [...layers.filter((l) => !uses.includes(l)).map((l) => `**/${l}/**`), '**/main.js'],
            message: `${name} stands on ${uses.join(' and ')} alone`,
          },
        ],
      },
    ],
  },
}));
const entryRules = {
  files: ['src/*.ts', 'test/**/*.ts'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: Object.keys(subsystems).map((s) => ({
          regex: `(\\./|src/)${s}/(?!index\\.js)`,
          message: `${s} has one public entry, index.js`,
        })),
      },
    ],
  },
};

export default tseslint.config(
  ...tseslint.configs.strict,
  { languageOptions: { parserOptions: { projectService: false } } },
  {
    rules: {
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-extraneous-class': 'off',
      eqeqeq: 'error',
    },
  },
  ...layerRules,
  ...subsystemRules,
  entryRules,
);
