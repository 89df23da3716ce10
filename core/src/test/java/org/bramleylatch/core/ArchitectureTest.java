package org.bramleylatch.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards against decisions that depend on codecs, I/O libraries, threads or clocks. */
@AnalyzeClasses(
        packages = "org.bramleylatch.core",
        importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule CORE_DEPENDS_ON_NO_CODEC_AND_NO_RUNTIME =
            classes()
                    .should()
                    .onlyDependOnClassesThat()
                    .resideInAnyPackage(
                            "org.bramleylatch.core..",
                            "java.lang..",
                            "java.util",
                            "java.util.concurrent",
                            "java.util.function",
                            "java.util.stream",
                            "java.nio.charset",
                            "com.google.common.hash..");

    @ArchTest
    static final ArchRule CORE_STARTS_NO_THREAD_AND_READS_NO_CLOCK =
            noClasses()
                    .should()
                    .accessClassesThat()
                    .haveFullyQualifiedName("java.lang.Thread")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime");
}
