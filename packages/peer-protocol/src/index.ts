/** Framed messages between the processes of the system. */
export * from './codec.js';
export * from './hello.js';
export * from './link.js';
export * from './message-shape.js';
export * from './server.js';
