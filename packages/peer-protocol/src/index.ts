/** Framed messages between the processes of the system. */
export * from './call-client.js';
export { listenForCalls, type AnswerCall } from './call-server.js';
export * from './codec.js';
export * from './hello.js';
export * from './link.js';
export * from './message-shape.js';
export { listenOn, type SocketServer } from './listen-sockets.js';
export * from './server.js';
