/**
 * The decision logic of mangoreach as embeddable components. It does no I/O:
 * clocks, random numbers and other dependencies are passed in.
 *
 * @module
 */
export type { Failure, FailureKind, Verdict } from "./failure.ts";
export { createFullFailure, createMemoryFailure } from "./overload_failures.ts";
export {
  combineVerdicts,
  createCallFailure,
  createFailure,
} from "./failure.ts";
export type { CancelReason, Deadline, DeadlineOptions } from "./deadline.ts";
export { createDeadline } from "./deadline.ts";
export type { CrashedRun } from "./crash_evidence.ts";
export { EVIDENCE_TTL } from "./crash_evidence.ts";
export type {
  CauseKnowledge,
  PoisonQuarantine,
  QuarantinedContent,
  SuspectedCause,
  SuspectedContent,
} from "./poison_quarantine.ts";
export { createPoisonQuarantine } from "./poison_quarantine.ts";
export type { RecentCompletions } from "./recent_completions.ts";
export { createRecentCompletions } from "./recent_completions.ts";
export { isPartTrait, listPartTraits } from "./request_traits.ts";
export type { RequestContent } from "./request_content.ts";
export { computeContentDigest } from "./request_content.ts";
export type { RequestId, RequestKey } from "./request_id.ts";
export {
  formatBinding,
  formatBoundId,
  formatRequestKey,
  parseRequestId,
} from "./request_id.ts";
export type {
  BeginResult,
  ForbidResult,
  OutcomeTable,
  OutcomeTableOptions,
  RunHandle,
} from "./outcome_table.ts";
export { createOutcomeTable } from "./outcome_table.ts";
export type {
  Claim,
  ClaimOutcome,
  ClaimTable,
  ClaimTableOptions,
} from "./claim_table.ts";
export { createClaimTable } from "./claim_table.ts";
export type {
  ConfigFold,
  ConfigInForce,
  ConfigRecord,
  FoldOutcome,
  LogPosition,
} from "./config_fold.ts";
export { createConfigFold } from "./config_fold.ts";
export type {
  HeldLease,
  HeldLeaseOptions,
  Lease,
  LeaseOutcome,
  LeaseRecord,
  LeaseTable,
  LoggedAt,
} from "./lease.ts";
export { createHeldLease, createLeaseTable } from "./lease.ts";
export type {
  Membership,
  MembershipOptions,
  PeerHealth,
  PeerRecord,
  PeerState,
  PeerSuspicion,
  PeerView,
} from "./membership.ts";
export { createMembership, isStaying } from "./membership.ts";
export type {
  AddressCandidate,
  AddressSelection,
  AddressSelectionOptions,
} from "./address_selection.ts";
export { chooseAddresses } from "./address_selection.ts";
export type { AnswerSize } from "./steering/answer_size.ts";
export type {
  EntrySampleOptions,
  SampledView,
} from "./steering/entry_sample.ts";
export { sampleEntries } from "./steering/entry_sample.ts";
export type {
  EndpointInfo,
  EndpointSignals,
  EndpointState,
  LoadReport,
} from "./endpoint.ts";
export { formatEndpointKey, isOlderIncarnation } from "./endpoint.ts";
export type { DrawnFirstOptions } from "./work_factor.ts";
export {
  hasWorkFactor,
  listDrawnFirst,
  readWorkFactor,
} from "./work_factor.ts";
export type {
  EndpointDirectory,
  EndpointDirectoryOptions,
  LeavingEvidence,
  LeavingMark,
  LeavingSource,
} from "./endpoint_directory.ts";
export { createEndpointDirectory } from "./endpoint_directory.ts";
export type {
  PlaceEvacuation,
  PlaceEvacuationOptions,
} from "./place_evacuation.ts";
export { createPlaceEvacuation } from "./place_evacuation.ts";
export type { PeerVersionTracker } from "./peer_version_tracker.ts";
export { createPeerVersionTracker } from "./peer_version_tracker.ts";
export type { ColdEndpoints } from "./cold_endpoints.ts";
export { createColdEndpoints } from "./cold_endpoints.ts";
export type { ColdAllowance, ColdAllowanceOptions } from "./cold_allowance.ts";
export { createColdAllowance } from "./cold_allowance.ts";
export type {
  EndpointLimits,
  EndpointLimitsOptions,
  LimitUpdate,
} from "./endpoint_limits.ts";
export type { EndpointPauses } from "./endpoint_pauses.ts";
export { createEndpointPauses } from "./endpoint_pauses.ts";
export { createEndpointLimits } from "./endpoint_limits.ts";
export type {
  ComputeLimitShare,
  LimitAllowance,
  LimitAllowanceOptions,
} from "./limit_allowance.ts";
export {
  computeDispatcherShare,
  computeRequestShare,
  createLimitAllowance,
} from "./limit_allowance.ts";
export type {
  EntryAllowance,
  EntryAllowanceOptions,
} from "./entry_allowance.ts";
export type { EndpointRoom } from "./brittle_allowance.ts";
export type { BrittlePools, BrittleUpdate } from "./brittle_pools.ts";
export {
  createEntryAllowance,
  listKnownEntries,
  listSendingMembers,
} from "./entry_allowance.ts";
export { createDiscoveryCheck } from "./discovery_period.ts";
export type { FindSenderRank, SenderRankOptions } from "./sender_rank.ts";
export { createSenderRank, rankSenders } from "./sender_rank.ts";
export type { SendAllowance, SendAllowanceOptions } from "./send_allowance.ts";
export { createSendAllowance } from "./send_allowance.ts";
export type {
  CompletionModel,
  EstimateOptions,
  ExpectedAnswer,
  MeasuredAnswer,
} from "./completion_model.ts";
export {
  createCompletionModel,
  createCompletionModels,
} from "./completion_model.ts";
export type { DelayModel } from "./delay_model.ts";
export { createDelayModel } from "./delay_model.ts";
export type { LatencyModel } from "./latency_model.ts";
export { createLatencyModel } from "./latency_model.ts";
export type {
  ConcurrencyLimit,
  ConcurrencyLimitOptions,
} from "./concurrency_limit.ts";
export { createConcurrencyLimit } from "./concurrency_limit.ts";
export type { EjectionCause, EndpointHealth } from "./endpoint_health.ts";
export { createEndpointHealth, ejectSlowest } from "./endpoint_health.ts";
export type { RetryBudget, RetryBudgetOptions } from "./retry_budget.ts";
export { createRetryBudget } from "./retry_budget.ts";
export type {
  AttainmentTracker,
  ClassAttainment,
  RequestOutcome,
} from "./attainment.ts";
export { createAttainmentTracker } from "./attainment.ts";
export type {
  DemandTracker,
  EngineInventory,
  EnginePlan,
  ModelDemand,
  PlacedModel,
  PlacementOptions,
} from "./placement.ts";
export { createDemandTracker, isSamePlan, planPlacement } from "./placement.ts";
export type {
  CacheEvent,
  PrefixAffinity,
  PrefixAffinityOptions,
} from "./prefix_affinity.ts";
export { createPrefixAffinity } from "./prefix_affinity.ts";
export type {
  ChooseEndpoint,
  EndpointView,
  ExpectedTimeChoiceOptions,
  RoutingRequest,
} from "./routing.ts";
export {
  createExpectedTimeChoice,
  createLeastInFlightChoice,
  createRoundRobinChoice,
} from "./routing.ts";
export type {
  QueuedWork,
  WorkClass,
  WorkQueue,
  WorkQueueOptions,
} from "./work_queue.ts";
export { createWorkQueue } from "./work_queue.ts";
export type {
  AttemptEnd,
  EndpointStatus,
  Permit,
  PoolPolicy,
  PoolStatus,
  PoolWork,
  StagePool,
  StagePoolOptions,
} from "./stage_pool.ts";
export { createStagePool } from "./stage_pool.ts";
export type { AdmittedEnd, ClassLimit } from "./class_limit.ts";
export { createClassLimit } from "./class_limit.ts";
export type {
  Admission,
  AdmissionOptions,
  AdmissionRequest,
  AdmittedRequest,
  StageForecast,
} from "./admission.ts";
export { createAdmission, spreadRetryAfter } from "./admission.ts";
export type {
  AccountSpec,
  BatchSpec,
  EngineSpec,
  PoolSpec,
  RequestLimits,
  Route,
  RouteKind,
  RouteStage,
  ServingConfig,
  WeightedPool,
} from "./serving_config.ts";
export type { RouteTable } from "./route_table.ts";
export { createRouteTable } from "./route_table.ts";
export type { DataAge, DataAgeOptions, DataTimestamp } from "./data_age.ts";
export { createDataAge } from "./data_age.ts";
export type {
  EndpointRegistry,
  EndpointRegistryOptions,
} from "./endpoint_registry.ts";
export { createEndpointRegistry } from "./endpoint_registry.ts";
export { listHighCapacity } from "./high_capacity_members.ts";
export { computeHash, listByRendezvous, listLocalFirst } from "./rendezvous.ts";
export { sampleItems } from "./sampling.ts";
export type {
  BatchEndpoint,
  PieceBatcher,
  PieceGroup,
  PlannedCall,
  WaitingPiece,
} from "./piece_batcher.ts";
export { createPieceBatcher } from "./piece_batcher.ts";
export type { AccountShares, AccountUse } from "./fairness/account_shares.ts";
export { createAccountShares } from "./fairness/account_shares.ts";
export type { ElapsedEstimator } from "./elapsed_estimator.ts";
export { createElapsedEstimator } from "./elapsed_estimator.ts";
export type { PieceRates, PieceWaits, WaitForecast } from "./piece_rates.ts";
export {
  chooseOverflowPartition,
  choosePartition,
  listDispatcherOrder,
  listPartitionEndpoints,
  listPartitions,
  OVERFLOW_WAIT,
  UNPARTITIONED,
} from "./pool_partition.ts";
export { createPieceRates } from "./piece_rates.ts";
export type { EndpointSpeeds } from "./endpoint_speed/endpoint_speeds.ts";
export { createEndpointSpeeds } from "./endpoint_speed/endpoint_speeds.ts";
export type {
  EngineSelector,
  EngineView,
  PromptPart,
} from "./engine_selector.ts";
export { createEngineSelector } from "./engine_selector.ts";
export type {
  BegunStream,
  StreamOrigin,
  StreamOrigins,
} from "./resumption/stream_origins.ts";
export {
  createStreamOrigins,
  formatStreamKey,
} from "./resumption/stream_origins.ts";
export type {
  PoolVersions,
  VersionHistory,
  VersionSighting,
} from "./resumption/version_history.ts";
export {
  createVersionHistory,
  findOnlyVersion,
  MAX_HISTORY_AGE,
  MAX_STREAM_LIFETIME,
} from "./resumption/version_history.ts";
export type { PlannedStage } from "./stage_plan.ts";
export { computeStageTime, planStages } from "./stage_plan.ts";
