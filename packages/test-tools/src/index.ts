export * from './describe.js';
