import type { Configuration, Route } from '../Types.js';

/** Finds the route of a request by host and longest path prefix. */
export class RouteTable {
  private readonly _routesByHost = new Map<string, Route[]>();

  public constructor(public readonly configuration: Configuration) {
    for (const route of configuration.routes) {
      const routes = this._routesByHost.get(route.host) ?? [];
      routes.push(route);
      this._routesByHost.set(route.host, routes);
    }
    for (const routes of this._routesByHost.values()) {
      routes.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length);
    }
  }

  /** Returns the route with the longest prefix that matches the path; undefined if none matches. */
  public find(host: string, path: string): Route | undefined {
    const hostname = host.replace(/:\d+$/, '').toLowerCase();
    return this._routesByHost.get(hostname)?.find((route) => path.startsWith(route.pathPrefix));
  }
}

/** Picks the service of a request at random by weight. `random` is at least 0 and below 1. */
export function pickService(route: Route, random: number): string {
  const total = route.services.reduce((sum, entry) => sum + entry.weight, 0);
  let remainingWeight = random * total;
  for (const entry of route.services) {
    remainingWeight -= entry.weight;
    if (remainingWeight < 0) {
      return entry.service;
    }
  }
  return route.services.at(-1)?.service ?? '';
}
