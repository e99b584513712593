/** Rules for imports: no circles anywhere, and none from a lower layer of the scheduling package to a higher one. */

const SCHEDULING = '^packages/scheduling/src/';

/** Layers of the scheduling package, lowest first. */
const LAYERS = ['model', 'state', 'decide', 'invariants', 'service'];

const upwardImports = LAYERS.slice(0, -1).map((layer, index) => ({
  name: `scheduling-${layer}-imports-upwards`,
  severity: 'error',
  from: { path: `${SCHEDULING}${layer}/` },
  to: { path: `${SCHEDULING}(${[...LAYERS.slice(index + 1), 'fleet'].join('|')})/` },
}));

export default {
  forbidden: [
    { name: 'no-circles', severity: 'error', from: {}, to: { circular: true } },
    ...upwardImports,
    {
      name: 'fleet-and-service-are-independent',
      severity: 'error',
      from: { path: `${SCHEDULING}(fleet|service)/` },
      to: { path: `${SCHEDULING}(fleet|service)/`, pathNot: `${SCHEDULING}$1/` },
    },
  ],
  options: {
    doNotFollow: { path: 'node_modules' },
    exclude: { path: '(^|/)dist/' },
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.base.json' },
    enhancedResolveOptions: { conditionNames: ['source', 'import', 'types', 'default'] },
  },
};
