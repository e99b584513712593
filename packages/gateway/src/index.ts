/** The data path: takes requests, picks a target, forwards and answers. */
export { buildGateway } from './container.js';
export { startGateway, type Gateway, type GatewayParts } from './gateway.js';
