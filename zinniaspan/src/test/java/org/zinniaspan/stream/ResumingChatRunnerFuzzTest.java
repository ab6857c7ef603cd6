package org.zinniaspan.stream;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.zinniaspan.stream.StreamSimulation.EngineFault;
import org.zinniaspan.stream.StreamSimulation.EngineScript;
import org.zinniaspan.stream.StreamSimulation.SlotFault;

/**
 * Property test with random faults of engines and slots, preemptions, pauses and disconnects.
 *
 * <p>The caller must receive a prefix of the answer, the whole answer if it is reported as
 * finished, and each granted slot must be released once. For more runs: {@code
 * -Djqwik.tries.default=100000}.
 */
class ResumingChatRunnerFuzzTest {

  @Property(seed = "20261203")
  void callerGetsTheAnswerAndSlotsAreReleasedOnce(
      @ForAll("chains") ActionChain<StreamSimulation> chain) {
    chain.run().finish();
  }

  @Provide
  Arbitrary<ActionChain<StreamSimulation>> chains() {
    return ActionChain.startWith(StreamSimulation::new)
        .withAction(10, engineScript())
        .withAction(5, slotFault())
        .withAction(5, read())
        .withAction(2, step("preempt", StreamSimulation::preempt))
        .withAction(2, refuseFrom())
        .withAction(1, pause())
        .withAction(1, step("caller disconnects", simulation -> simulation.callerGone = true))
        .withAction(1, step("close", StreamSimulation::close))
        .withMaxTransformations(40);
  }

  private static Action.Independent<StreamSimulation> engineScript() {
    Arbitrary<EngineScript> scripts =
        Combinators.combine(Arbitraries.of(EngineFault.class), afterTokens()).as(EngineScript::new);
    return () ->
        scripts.map(
            script ->
                Transformer.mutate(
                    "engine " + script, simulation -> simulation.engineScripts.add(script)));
  }

  private static Arbitrary<Integer> afterTokens() {
    return Arbitraries.oneOf(Arbitraries.just(0), Arbitraries.integers().between(1, 13));
  }

  private static Action.Independent<StreamSimulation> slotFault() {
    return () ->
        Arbitraries.of(SlotFault.class)
            .map(
                fault ->
                    Transformer.mutate(
                        "slot " + fault, simulation -> simulation.slotFaults.add(fault)));
  }

  private static Action.Independent<StreamSimulation> refuseFrom() {
    return () ->
        Arbitraries.integers()
            .between(2, 5)
            .map(
                request ->
                    Transformer.mutate(
                        "refuse from slot request " + request,
                        simulation -> simulation.refuseFromRequest = request));
  }

  private static Action.Independent<StreamSimulation> read() {
    return step("read", StreamSimulation::read);
  }

  private static Action.Independent<StreamSimulation> pause() {
    return () ->
        Arbitraries.longs()
            .between(1, 20_000)
            .map(
                ms ->
                    Transformer.mutate("pause " + ms, simulation -> simulation.clock.advance(ms)));
  }

  private static Action.Independent<StreamSimulation> step(
      String name, java.util.function.Consumer<StreamSimulation> effect) {
    return () -> Arbitraries.just(Transformer.mutate(name, effect));
  }
}
