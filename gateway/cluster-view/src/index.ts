export type {BeliefSource} from './belief-source.ts';
export type {ClusterEvents} from './cluster-events.ts';
export type {ClusterState} from './cluster-state.ts';
export type {ClusterView} from './cluster-view.ts';
export type {ClusterViewOptions} from './cluster-view-options.ts';
export {createClusterView} from './create-cluster-view.ts';
export {createStoreFollower} from './create-store-follower.ts';
export type {StoreFollower} from './store-follower.ts';
export type {StoreFollowerOptions} from './store-follower-options.ts';
