# Installs the library, builds examples/embed against it, and runs it.
# cmake -DSOURCE=... -DBUILD=... -P TestEmbed.cmake
set(Prefix ${BUILD}/embed-test/prefix)
set(Work ${BUILD}/embed-test/build)
file(REMOVE_RECURSE ${BUILD}/embed-test)

function(run)
  execute_process(COMMAND ${ARGN} RESULT_VARIABLE Status)
  if(NOT Status EQUAL 0)
    message(FATAL_ERROR "failed: ${ARGN}")
  endif()
endfunction()

run(${CMAKE_COMMAND} --install ${BUILD} --prefix ${Prefix})
run(${CMAKE_COMMAND} -S ${SOURCE}/examples/embed -B ${Work} -G Ninja
  -DCMAKE_PREFIX_PATH=${Prefix})
run(${CMAKE_COMMAND} --build ${Work})
run(${Work}/embed)
