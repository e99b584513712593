export default {
  files: ['packages/*/dist/**/*.test.js', 'platform/dist/**/*.test.js'],
  timeout: '4m',
  concurrency: 4,
  workerThreads: false,
};
