/** HTTP gateway: accepts requests, selects a target for each, forwards them and returns the responses. */
export { buildGateway } from './container.js';
export { startGateway, type Gateway, type GatewayDependencies } from './gateway.js';
