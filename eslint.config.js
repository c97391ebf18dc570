import tseslint from 'typescript-eslint';

/** Imports point downwards only: coordination > bookkeeping > protocol > transport; main.ts wires. */
const layers = ['transport', 'protocol', 'bookkeeping', 'coordination'];
const layerRules = layers.map((layer, i) => ({
  files: [`src/${layer}/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          { group: [...layers.slice(i + 1).map((l) => `**/${l}/**`), '**/main.js'], message: 'imports point downwards only' },
        ],
      },
    ],
  },
}));

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
);
